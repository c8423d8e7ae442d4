// Package hangup keeps a program from ending by a SIGHUP that comes before its main function.
//
// SIGHUP ends a process that does not handle it, and a Go program cannot handle it before its packages are initialized, which takes
// milliseconds on a machine of its own and longer on a busy one. A program that imports this package ignores the signal from its
// loading on, until it calls signal.Notify for it. Such a signal may be ignored because the settings are read afterwards.
//
// The signal is ignored by a C function that the loader calls. Without cgo the package does nothing.
package hangup
