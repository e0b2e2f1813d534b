package extrapolator

import (
	"fmt"

	"yuccaspread/common/loader"
)

// Kind is the resource that a row measures.
type Kind string

// The kinds, with the units of their metrics.
const (
	// CPU rows have metrics in nanoseconds, after scaling.
	CPU Kind = "cpu"
	// Traffic rows have metrics in bytes.
	Traffic Kind = "traffic"
	// Memory rows have metrics in bytes.
	Memory Kind = "memory"
	// Rate rows have metrics in operations.
	Rate Kind = "rate"
)

// Plan lists the budgets and the rows of the page's tables.
type Plan struct {
	// Budgets limit the sums over the rows with Control set.
	Budgets Budgets `toml:"budgets"`
	Rows    []Row   `toml:"rows" validate:"dive"`
}

// Budgets are the limits of what one daemon may spend on control.
type Budgets struct {
	// CPUPercent is in percent of one core.
	CPUPercent float64 `toml:"cpu_percent" validate:"gt=0"`
	// MemoryMB is in millions of bytes.
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0"`
	// TrafficKB is in thousands of bytes per second.
	TrafficKB float64 `toml:"traffic_kb" validate:"gt=0"`
}

// Row is one quantity of one duty.
type Row struct {
	Duty     string `toml:"duty" validate:"required"`
	Quantity string `toml:"quantity" validate:"required"`
	Kind     Kind   `toml:"kind" validate:"oneof=cpu traffic memory rate"`
	// Benchmark, Variable and Metric select the measurements.
	Benchmark string `toml:"benchmark" validate:"required,startswith=Benchmark"`
	Variable  string `toml:"variable" validate:"required"`
	Metric    string `toml:"metric" validate:"required"`
	// At is the value of the variable at the design size.
	At float64 `toml:"at" validate:"gte=0"`
	// Where holds the values of other variables that a measurement must have.
	Where map[string]float64 `toml:"where"`
	// Scale converts the metric to the unit of the kind; 0 means 1.
	Scale float64 `toml:"scale" validate:"gte=0"`
	// PerSecond is how often the operation runs per second at one daemon; 0 means
	// 1.
	PerSecond float64 `toml:"per_second" validate:"gte=0"`
	// Control is set if the row counts against the budgets.
	Control bool `toml:"control"`
	// Budget limits this row alone, in the unit of Cost.Amount; 0 for none.
	Budget float64 `toml:"budget" validate:"gte=0"`
	// Mechanism names the mechanism that causes the cost.
	Mechanism string `toml:"mechanism" validate:"required"`
}

// LoadPlan reads the plan from a TOML file.
func LoadPlan(path string) (plan Plan, err error) {
	err = loader.Load(loader.Source{Path: path, Prefix: "CAPACITY"}, &plan)
	return plan, err
}

// Cost is the estimated cost of a row at the design size.
type Cost struct {
	Row
	Points []Point
	Line   Line
	// Amount is in percent of a core, bytes per second, bytes, or operations per
	// second, by the row's kind.
	Amount float64
}

// EstimateCost fits a line to the row's measurements and computes the cost at the
// design size.
func EstimateCost(row Row, m Measurements) (cost Cost, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s, %s: %s of %s: %w", row.Duty, row.Quantity, row.Metric, row.Benchmark, err)
		}
	}()
	cost = Cost{Row: row, Points: m.Points(row.Benchmark, row.Variable, row.Metric, row.Where)}
	if cost.Line, err = Fit(cost.Points); err != nil {
		return cost, err
	}
	cost.Amount = max(cost.Line.At(row.At), 0) * oneIfZero(row.PerSecond) * oneIfZero(row.Scale)
	if row.Kind == CPU {
		// Converts nanoseconds per second to percent of a core.
		cost.Amount /= 1e7
	}
	return cost, nil
}

func oneIfZero(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
