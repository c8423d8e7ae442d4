// Package release defines what a release is and which settings may differ between releases that run side by side. A release is a program
// and its settings, named by the hash of their content. Store keeps releases in a folder and never changes one in place. Compare is pure;
// Store reads and writes its folder. The package starts no program and decides on no stage of a rollout.
//
// Invariants: two releases with one ID have equal content; the content of a release that Open returns is that of its ID; a release that is
// being added is not seen until all of it is on the disk; a field that differs and that the program reads is never taken for harmless
// because it has no rule.
package release
