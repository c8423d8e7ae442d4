package peertest

// Settings is a settings document in the platform's JSON form, with one request class of each effect, two zones, and servers that
// report their load in every answer.
const Settings = `{"classes": [
	{"name": "look", "effect": "read_like", "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "book", "effect": "idempotency_key", "group": "cell", "window_ms": 2000, "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "once", "effect": "non_idempotent", "on_time_ms": 8000, "hard_limit_ms": 10000}],
	"tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b"], "kinds": ["m1", "m2"], "discovery": "subscribe",
	"report": {"via": "piggyback", "fields": ["busy", "rate"]},
	"limits": {"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 5000, "max_attempts": 4, "retry_after": true, "max_retry_after_ms": 50},
	"rules": {"drain_grace_ms": 250}}`
