package extrapolator

import (
	"errors"
	"fmt"
	"strings"
)

// Marks around a table in the page. The text between them is replaced.
const (
	beginMark = "<!-- table: %s -->\n"
	endMark   = "<!-- end of table -->"
)

// Fill returns the page with its tables replaced: one of each duty, and the table
// "control" of the sums against the budgets.
func Fill(page string, plan Plan, m Measurements) (filled string, err error) {
	var costs []Cost
	for _, row := range plan.Rows {
		cost, rowErr := EstimateCost(row, m)
		err = errors.Join(err, rowErr)
		costs = append(costs, cost)
	}
	if err != nil {
		return page, err
	}
	for _, duty := range dutyNames(plan.Rows) {
		if page, err = replaceTable(page, duty, dutyTable(duty, costs)); err != nil {
			return page, err
		}
	}
	return replaceTable(page, "control", controlTable(plan.Budgets, costs))
}

// dutyNames returns the names of the duties in the order of the rows.
func dutyNames(rows []Row) (names []string) {
	seen := map[string]bool{}
	for _, r := range rows {
		if !seen[r.Duty] {
			seen[r.Duty] = true
			names = append(names, r.Duty)
		}
	}
	return names
}

func replaceTable(page, name, table string) (filled string, err error) {
	begin := fmt.Sprintf(beginMark, name)
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return page, fmt.Errorf("page: begin mark of table %q is missing", name)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return page, fmt.Errorf("page: end mark of table %q is missing", name)
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
			c.Quantity, formatMeasurements(c), formatLine(c), formatAmount(c.Kind, c.Amount), formatBudget(c), c.Mechanism)
	}
	return table.String()
}

func formatMeasurements(c Cost) string {
	parts := make([]string, 0, len(c.Points))
	for _, p := range c.Points {
		parts = append(parts, fmt.Sprintf("%s %s", formatNumber(p.Size), formatNumber(p.Value)))
	}
	return fmt.Sprintf("`%s`, %s: %s (%s)", c.Benchmark, c.Variable, strings.Join(parts, ", "), c.Metric)
}

func formatLine(c Cost) string {
	text := fmt.Sprintf("%s + %s × %s", formatNumber(c.Line.Base), formatNumber(c.Line.Slope), c.Variable)
	if c.PerSecond != 0 && c.PerSecond != 1 {
		text = fmt.Sprintf("(%s) × %s/s", text, formatNumber(c.PerSecond))
	}
	return fmt.Sprintf("%s, %s = %s", text, c.Variable, formatNumber(c.At))
}

func formatBudget(c Cost) string {
	if c.Budget == 0 {
		return ""
	}
	return formatAmount(c.Kind, c.Budget) + budgetVerdict(c.Amount, c.Budget)
}

func budgetVerdict(value, budget float64) string {
	if value > budget {
		return ", **over**"
	}
	return ", within"
}

// formatAmount formats a value in the unit of its kind.
func formatAmount(kind Kind, value float64) string {
	switch kind {
	case CPU:
		return formatNumber(value) + " % of a core"
	case Traffic:
		return formatNumber(value/1e3) + " KB/s"
	case Memory:
		return formatNumber(value/1e6) + " MB"
	case Rate:
		return formatNumber(value) + "/s"
	default:
		return formatNumber(value)
	}
}

// formatNumber formats a value with three significant digits.
func formatNumber(value float64) string {
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
			formatAmount(sum.kind, total), formatAmount(sum.kind, sum.budget), budgetVerdict(total, sum.budget))
	}
	return table.String()
}
