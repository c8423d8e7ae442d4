// Package common holds packages that more than one of the products uses: sockets, command lines, files of settings and plots; and for
// tests, scripted peers and checks of recorded forms.
//
// They import none of the products.
package common
