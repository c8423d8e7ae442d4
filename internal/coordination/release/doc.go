// Package release stores releases, and compares the settings of releases that run side by side during a rollout. A release is a
// program and its settings, identified by a hash of their content. Store keeps releases in a folder and never modifies one in
// place. Compare is a pure function. The package starts no programs and does not control rollouts.
//
// Invariants: two releases with the same ID have the same content; the content of a release that Open returns matches its ID; a
// release that is being added is not visible until it is completely on the disk; every field that the program reads has a rule,
// so that Compare never reports a difference in it as harmless for lack of one.
package release
