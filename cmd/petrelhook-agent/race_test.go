//go:build race

package main

const raced = true
