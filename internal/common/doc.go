// Package common is the parent of the packages that several of the programs use: sockets, command lines, settings files and plots
// and, for tests, scripted peers and checks of recorded formats.
//
// These packages import no other part of the module.
package common
