package extrapolator

import (
	"fmt"

	"yuccaspread/common/loader"
)

// Kind is what a row measures.
type Kind string

// The kinds, with the units of what a daemon or the platform spends.
const (
	// CPU rows have metrics in nanoseconds, as scaled.
	CPU Kind = "cpu"
	// Traffic rows have metrics in bytes.
	Traffic Kind = "traffic"
	// Memory rows have metrics in bytes.
	Memory Kind = "memory"
	// Rate rows have metrics in operations.
	Rate Kind = "rate"
)

// Plan says which slopes make up the page.
type Plan struct {
	// Budgets bound the sums over the rows that count as control.
	Budgets Budgets `toml:"budgets"`
	Rows    []Row   `toml:"rows" validate:"dive"`
}

// Budgets are what one daemon may spend on control.
type Budgets struct {
	// CPUPercent is in percent of one core.
	CPUPercent float64 `toml:"cpu_percent" validate:"gt=0"`
	// MemoryMB is in millions of bytes.
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0"`
	// TrafficKB is in thousands of bytes a second.
	TrafficKB float64 `toml:"traffic_kb" validate:"gt=0"`
}

// Row is one quantity of one duty.
type Row struct {
	Duty     string `toml:"duty" validate:"required"`
	Quantity string `toml:"quantity" validate:"required"`
	Kind     Kind   `toml:"kind" validate:"oneof=cpu traffic memory rate"`
	// Benchmark, Variable and Metric name the measurements.
	Benchmark string `toml:"benchmark" validate:"required,startswith=Benchmark"`
	Variable  string `toml:"variable" validate:"required"`
	Metric    string `toml:"metric" validate:"required"`
	// At is the value of the variable at the size to design for.
	At float64 `toml:"at" validate:"gte=0"`
	// Where holds further sizes that a measurement must have.
	Where map[string]float64 `toml:"where"`
	// Scale turns the metric into the unit of the kind; 0 stands for 1.
	Scale float64 `toml:"scale" validate:"gte=0"`
	// PerSecond is how often it happens a second at one daemon; 0 stands for 1.
	PerSecond float64 `toml:"per_second" validate:"gte=0"`
	// Control tells whether the row counts against the budgets.
	Control bool `toml:"control"`
	// Budget bounds this row alone, in the unit of the last column; 0 for none.
	Budget float64 `toml:"budget" validate:"gte=0"`
	// Mechanism names what carries the quantity.
	Mechanism string `toml:"mechanism" validate:"required"`
}

// LoadPlan reads the plan from a TOML file.
func LoadPlan(path string) (plan Plan, err error) {
	err = loader.Load(loader.Source{Path: path, Prefix: "CAPACITY"}, &plan)
	return plan, err
}

// Cost is what a row comes to at the size to design for.
type Cost struct {
	Row
	Points []Point
	Line   Line
	// Amount is in percent of a core, bytes a second, bytes, or operations a
	// second, by the row's kind.
	Amount float64
}

// Work fits the row's measurements and works out its cost.
func Work(row Row, m Measurements) (cost Cost, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s, %s: %s of %s: %w", row.Duty, row.Quantity, row.Metric, row.Benchmark, err)
		}
	}()
	cost = Cost{Row: row, Points: m.Points(row.Benchmark, row.Variable, row.Metric, row.Where)}
	if cost.Line, err = Fit(cost.Points); err != nil {
		return cost, err
	}
	cost.Amount = max(cost.Line.At(row.At), 0) * orOne(row.PerSecond) * orOne(row.Scale)
	if row.Kind == CPU {
		// Nanoseconds a second to percent of a core.
		cost.Amount /= 1e7
	}
	return cost, nil
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
