package engines

import "time"

// Spec is a deployment and a day of requests, as an experiment's file has them.
type Spec struct {
	Duration     time.Duration `yaml:"length"`
	WarmUp       time.Duration `yaml:"warm"` // at the start; its requests are not counted
	Zones        int           `yaml:"zones"`
	Routers      int           `yaml:"routers"`
	Distributors int           `yaml:"homes"` // in each zone
	Network      Network       `yaml:"network"`
	Servers      int           `yaml:"servers"`
	Engine       Engine        `yaml:"engine"`
	RateSwing    float64       `yaml:"swing"`  // amplitude of the arrivals' wave, as a fraction of the rate
	SwingPeriod  time.Duration `yaml:"period"` // of the wave
	Classes      []Class       `yaml:"classes"`
	Faults       []Fault       `yaml:"faults"`
	Prices       Prices        `yaml:"prices"`
	PrefixTTL    time.Duration `yaml:"again"` // how long a prefix counts as cached after its use, and is priced when another server reads it
	Policies     []string      `yaml:"policies"`
	Seeds        int           `yaml:"seeds"`
}

// Network is the delays and the rate of messages. Delays are one way.
type Network struct {
	ClientDelay    time.Duration `yaml:"client"`
	InZoneDelay    time.Duration `yaml:"in_zone"`
	CrossZoneDelay time.Duration `yaml:"cross_zone"`
	LinkMbps       float64       `yaml:"link_mbps"`  // of a router
	UsesInterval   time.Duration `yaml:"tell_uses"`  // between two reports of prefix uses
	LoadsInterval  time.Duration `yaml:"tell_loads"` // between two load reports
}

// Engine is a model server.
type Engine struct {
	Slots                   int           `yaml:"slots"`
	QueueLength             int           `yaml:"queue"`
	CacheTokens             float64       `yaml:"memory"`
	StepTime                time.Duration `yaml:"step"`
	StepTimePerRequest      time.Duration `yaml:"step_each"`      // for each slot in use
	StepTimePer1000Tokens   time.Duration `yaml:"context_each_k"` // of context
	PrefillTokensPerMs      float64       `yaml:"read_per_ms"`
	AttentionTimePerMillion time.Duration `yaml:"pairs_per_m"` // pairs of tokens, during prefill
	FirstEventDelay         time.Duration `yaml:"first"`       // from the first token to the first event
	TokensPerEvent          int           `yaml:"stride"`
	ChunkTokens             int           `yaml:"chunk"` // of prefill that one step does
}

// Distribution is of a positive random size: log-normal, cut at Max.
type Distribution struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"` // the standard deviation, as a fraction of the mean
	Max    float64 `yaml:"most"`   // 0: none
}

// PromptPart is one shared part of the prompts of a class: which of its variants a prompt has is drawn by their rank to the power of -Skew.
type PromptPart struct {
	Variants int          `yaml:"things"`
	Skew     float64      `yaml:"skew"`
	Tokens   Distribution `yaml:"tokens"`
}

// Class is a kind of request.
type Class struct {
	Name          string        `yaml:"name"`
	Rate          float64       `yaml:"rate"`  // a second, all zones together
	LatencyTarget time.Duration `yaml:"aim"`   // of the first event
	GapTarget     time.Duration `yaml:"pause"` // of the time between two events
	Deadline      time.Duration `yaml:"deadline"`
	Value         float64       `yaml:"worth"` // of a request that meets its targets
	LateValue     float64       `yaml:"late"`  // of one that is served and does not
	Events        Distribution  `yaml:"events"`
	Prompt        Distribution  `yaml:"prompt"` // tokens beside the shared parts
	SharedParts   []PromptPart  `yaml:"shared"`
	Resumable     bool          `yaml:"resumable"`
	Attempts      int           `yaml:"attempts"`
}

// Kinds of faults.
const (
	FaultSlow  = "slow"
	FaultCrash = "crash"
	FaultBurst = "burst"
	FaultHot   = "hot_key"
)

// Fault is a fault of servers, or a change of a class's arrivals, for some time.
type Fault struct {
	Kind     string        `yaml:"kind"`
	Start    time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Fraction float64       `yaml:"share"`  // of the servers, or of a class's requests
	Factor   float64       `yaml:"factor"` // of a server's times, or of a class's rate
	Class    string        `yaml:"class"`
}

// Prices are subtracted from the value that is earned.
type Prices struct {
	PerCrossZoneGB      float64 `yaml:"cross_gb"`
	Per1000RereadTokens float64 `yaml:"read_k"` // of shared parts, that were cached somewhere
}
