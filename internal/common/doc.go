// Package common holds what more than one of the products uses: sockets, command lines, files of settings, plots, and peers for tests.
//
// It imports none of the products.
package common
