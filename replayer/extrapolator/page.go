package extrapolator

import (
	"errors"
	"fmt"
	"strings"
)

// Marks around a table in the page. What stands between them is replaced.
const (
	beginMark = "<!-- table: %s -->\n"
	endMark   = "<!-- end of table -->"
)

// Fill returns the page with the table of each duty and the table "control",
// the sums against the budgets, put between their marks.
func Fill(page string, plan Plan, m Measurements) (filled string, err error) {
	var costs []Cost
	for _, row := range plan.Rows {
		cost, workErr := Work(row, m)
		err = errors.Join(err, workErr)
		costs = append(costs, cost)
	}
	if err != nil {
		return page, err
	}
	for _, duty := range duties(plan.Rows) {
		if page, err = replace(page, duty, dutyTable(duty, costs)); err != nil {
			return page, err
		}
	}
	return replace(page, "control", controlTable(plan.Budgets, costs))
}

// duties returns the names of the duties in the order of the rows.
func duties(rows []Row) (names []string) {
	seen := map[string]bool{}
	for _, r := range rows {
		if !seen[r.Duty] {
			seen[r.Duty] = true
			names = append(names, r.Duty)
		}
	}
	return names
}

func replace(page, name, table string) (filled string, err error) {
	begin := fmt.Sprintf(beginMark, name)
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return page, fmt.Errorf("the page has no mark for table %q", name)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return page, fmt.Errorf("the table %q has no end mark", name)
	}
	return before + begin + table + endMark + after, nil
}

func dutyTable(duty string, costs []Cost) string {
	var table strings.Builder
	table.WriteString("| Quantity | Measured | Line | At full size | Bound | Mechanism |\n|---|---|---|---|---|---|\n")
	for _, c := range costs {
		if c.Duty != duty {
			continue
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s | %s |\n",
			c.Quantity, measured(c), formula(c), amount(c.Kind, c.Amount), bound(c), c.Mechanism)
	}
	return table.String()
}

func measured(c Cost) string {
	parts := make([]string, 0, len(c.Points))
	for _, p := range c.Points {
		parts = append(parts, fmt.Sprintf("%s %s", number(p.Size), number(p.Value)))
	}
	return fmt.Sprintf("`%s`, %s: %s (%s)", c.Benchmark, c.Variable, strings.Join(parts, ", "), c.Metric)
}

func formula(c Cost) string {
	text := fmt.Sprintf("%s + %s × %s", number(c.Line.Base), number(c.Line.Slope), c.Variable)
	if c.PerSecond != 0 && c.PerSecond != 1 {
		text = fmt.Sprintf("(%s) × %s/s", text, number(c.PerSecond))
	}
	return fmt.Sprintf("%s, %s = %s", text, c.Variable, number(c.At))
}

func bound(c Cost) string {
	if c.Budget == 0 {
		return ""
	}
	return amount(c.Kind, c.Budget) + verdict(c.Amount, c.Budget)
}

func verdict(value, budget float64) string {
	if value > budget {
		return ", **over**"
	}
	return ", within"
}

// amount writes a value in the unit of its kind.
func amount(kind Kind, value float64) string {
	switch kind {
	case CPU:
		return number(value) + " % of a core"
	case Traffic:
		return number(value/1e3) + " KB/s"
	case Memory:
		return number(value/1e6) + " MB"
	case Rate:
		return number(value) + "/s"
	default:
		return number(value)
	}
}

// number writes a value with three digits that count.
func number(value float64) string {
	text := fmt.Sprintf("%.3g", value)
	if strings.Contains(text, "e") {
		text = fmt.Sprintf("%.0f", value)
	}
	return text
}

func controlTable(budgets Budgets, costs []Cost) string {
	var table strings.Builder
	table.WriteString("| Control of one daemon | Sum | Budget |\n|---|---|---|\n")
	for _, sum := range []struct {
		name   string
		kind   Kind
		budget float64
	}{
		{"processor time", CPU, budgets.CPUPercent},
		{"memory", Memory, budgets.MemoryMB * 1e6},
		{"bytes sent and received", Traffic, budgets.TrafficKB * 1e3},
	} {
		total := 0.0
		for _, c := range costs {
			if c.Control && c.Kind == sum.kind {
				total += c.Amount
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %s%s |\n", sum.name,
			amount(sum.kind, total), amount(sum.kind, sum.budget), verdict(total, sum.budget))
	}
	return table.String()
}
