// Package release is what a release is, and which settings may differ side by side. A release is a program and its settings, named by
// the hash of their content; a store keeps releases in a folder and never changes one in place. Comparing is pure; the store does the
// I/O of its folder and nothing else. It starts no program and decides on no stage.
//
// Invariants: two releases of one name have equal content; what Open gives has the content that its name says, else there is an error
// that names the file; a release that is being added is seen by nobody until all of it is on the disk; a field that differs and that
// no rule knows is never taken for harmless where the program reads it.
package release
