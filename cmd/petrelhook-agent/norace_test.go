//go:build !race

package main

const raced = false
