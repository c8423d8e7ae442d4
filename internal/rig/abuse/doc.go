// Package abuse plays many clients that do not behave, for tests of what they can make a process use. A Behaviour is what each of them
// sends and whether it reads; a Crowd is the open connections; a Meter records the memory and the descriptors of the process meanwhile.
//
// All of them are bounded: in connections, in bytes that each connection sends, and in the time that a write may take.
package abuse
