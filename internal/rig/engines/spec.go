package engines

import "time"

// Spec is one deployment and its day.
type Spec struct {
	Length   time.Duration `yaml:"length"`
	Warm     time.Duration `yaml:"warm"` // at the start, not counted
	Zones    int           `yaml:"zones"`
	Routers  int           `yaml:"routers"`
	Homes    int           `yaml:"homes"` // in each zone
	Network  Network       `yaml:"network"`
	Servers  int           `yaml:"servers"`
	Engine   Engine        `yaml:"engine"`
	Swing    float64       `yaml:"swing"`  // of the arrivals' wave
	Period   time.Duration `yaml:"period"` // of it
	Classes  []Class       `yaml:"classes"`
	Faults   []Fault       `yaml:"faults"`
	Prices   Prices        `yaml:"prices"`
	Again    time.Duration `yaml:"again"` // for which a shared part that is read again is priced
	Policies []string      `yaml:"policies"`
	Seeds    int           `yaml:"seeds"`

	more []policy // beside those that have a name
}

// Network is how long things take on their way.
type Network struct {
	Client   time.Duration `yaml:"client"`
	InZone   time.Duration `yaml:"in_zone"`
	Cross    time.Duration `yaml:"cross_zone"`
	LinkMbps float64       `yaml:"link_mbps"`  // of a router
	Uses     time.Duration `yaml:"tell_uses"`  // between two messages
	Loads    time.Duration `yaml:"tell_loads"` // between two messages
}

// Engine is a model server.
type Engine struct {
	Slots     int           `yaml:"slots"`
	Queue     int           `yaml:"queue"`
	Memory    float64       `yaml:"memory"` // tokens
	Step      time.Duration `yaml:"step"`
	StepEach  time.Duration `yaml:"step_each"`      // for each place in use
	ContextK  time.Duration `yaml:"context_each_k"` // for each 1,000 tokens held
	ReadPerMs float64       `yaml:"read_per_ms"`    // tokens
	PairsPerM time.Duration `yaml:"pairs_per_m"`    // for a million pairs of tokens
	First     time.Duration `yaml:"first"`          // from the first token to the first event
	Stride    int           `yaml:"stride"`         // tokens of an event
	Chunk     int           `yaml:"chunk"`          // tokens of a prompt that one step reads
}

// Draw is a positive random size: log-normal, cut at Most.
type Draw struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Most   float64 `yaml:"most"`
}

// Part is one shared part of the prompts of a class: which of so many things it is is drawn by their rank to the power of -Skew.
type Part struct {
	Things int     `yaml:"things"`
	Skew   float64 `yaml:"skew"`
	Tokens Draw    `yaml:"tokens"`
}

// Class is a kind of request.
type Class struct {
	Name      string        `yaml:"name"`
	Rate      float64       `yaml:"rate"` // a second, all zones together
	Aim       time.Duration `yaml:"aim"`
	Pause     time.Duration `yaml:"pause"`
	Deadline  time.Duration `yaml:"deadline"`
	Worth     float64       `yaml:"worth"`
	Late      float64       `yaml:"late"`
	Events    Draw          `yaml:"events"`
	Prompt    Draw          `yaml:"prompt"`
	Shared    []Part        `yaml:"shared"`
	Resumable bool          `yaml:"resumable"`
	Attempts  int           `yaml:"attempts"`
}

// Kinds of faults.
const (
	FaultSlow  = "slow"
	FaultCrash = "crash"
	FaultBurst = "burst"
	FaultHot   = "hot_key"
)

// Fault is a trouble of some time.
type Fault struct {
	Kind   string        `yaml:"kind"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Share  float64       `yaml:"share"`  // of the servers, or of a class's requests
	Factor float64       `yaml:"factor"` // of time, or of a class's rate
	Class  string        `yaml:"class"`
}

// Prices are taken off what is earned.
type Prices struct {
	CrossGB float64 `yaml:"cross_gb"`
	ReadK   float64 `yaml:"read_k"` // for 1,000 tokens of shared parts that are read again
}
