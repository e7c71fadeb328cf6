//go:build race

package rig

const raced = true
