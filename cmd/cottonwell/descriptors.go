package main

import (
	"fmt"
	"log/slog"
	"math"

	"golang.org/x/sys/unix"
)

// This file divides the file descriptors of the process.

const (
	// maxReservedDescriptors is the number of file descriptors reserved for discovery, the log and the runtime, and
	// reservedDescriptorsDivisor the largest part of all that is reserved, as a divisor.
	maxReservedDescriptors     = 64
	reservedDescriptorsDivisor = 4
	// minConnections is the lowest number of connections, to clients and targets together, with which the program starts.
	minConnections = 16
	// connectionMemory is the memory of a connection in bytes: its read buffer, its goroutines and the head of a request.
	// connectionsMemoryDivisor is the part of the memory limit, as a divisor, that all connections may need.
	connectionMemory         = 32 << 10
	connectionsMemoryDivisor = 2
)

// maxDescriptorsInMemory returns the number of descriptors that a memory limit allows.
func maxDescriptorsInMemory(memoryMB int) int {
	return memoryMB << 20 / connectionsMemoryDivisor / connectionMemory
}

// descriptorLimit returns the number of file descriptors that the system allows this process. The Go runtime has raised the soft
// limit to the hard one by now.
func descriptorLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("limit of file descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// usableDescriptors returns the smaller of the configured number of descriptors and the system's limit, and logs which is used
// if the system allows fewer.
func usableDescriptors(configured int, log *slog.Logger) int {
	limit, err := descriptorLimit()
	if err != nil {
		log.Warn("using the configured number of descriptors", "configured", configured, "cause", err)
		return configured
	}
	if limit < configured {
		log.Warn("the system allows fewer descriptors than configured", "configured", configured, "used", limit)
	}
	return min(configured, limit)
}

// connectionBudget returns how many of a process's descriptors may be connections to clients and targets. other is the number
// that other front ends use.
func connectionBudget(descriptors, other int) (int, error) {
	connections := descriptors - min(maxReservedDescriptors, descriptors/reservedDescriptorsDivisor) - other
	if connections < minConnections {
		return 0, fmt.Errorf("limit of %d descriptors, by number or memory, is too low", descriptors)
	}
	return connections, nil
}
