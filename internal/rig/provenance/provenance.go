// Package provenance says where a measurement comes from: the revision of the program and the machine that it ran on. Both are for readers
// of a report; nothing parses them.
package provenance

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"petrelhook/internal/rig/usage"
)

// Revision is the revision that this program was built from, as the tool chain records it, with a remark if the source was changed after
// it; "unknown" if it is not recorded.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	return revision + changed
}

// Machine names the machine's processors, memory and platform.
func Machine() string {
	memory, _ := usage.MachineMemory() // 0 where the system does not say it
	return fmt.Sprintf("%d processors, %.1f GiB of memory, %s/%s", runtime.NumCPU(), float64(memory)/(1<<30), runtime.GOOS, runtime.GOARCH)
}
