package limit

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// Machine is what the process may use.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
}

// cgroupMemoryFile holds the memory limit of the process's control group, in bytes, or "max".
const cgroupMemoryFile = "/sys/fs/cgroup/memory.max"

// defaultDescriptors is assumed where the kernel names no limit.
const defaultDescriptors = 1024

// FindMachine returns what the process may use. Limits above zero are those of the settings, within which the machine's apply.
func FindMachine(memory int64, descriptors int) Machine {
	m := Machine{Memory: memory, Descriptors: descriptors}
	if m.Memory == 0 {
		m.Memory = systemMemory()
	}
	var files syscall.Rlimit
	limit := defaultDescriptors
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		limit = int(min(files.Cur, 1<<20))
	}
	if m.Descriptors == 0 || limit < m.Descriptors {
		m.Descriptors = limit
	}
	return m
}

// systemMemory returns the memory of the control group or of the whole machine, in bytes.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	memory := int64(0)
	if unix.Sysinfo(&info) == nil {
		memory = int64(info.Totalram * uint64(info.Unit))
	}
	text, err := os.ReadFile(cgroupMemoryFile)
	if err != nil {
		return memory
	}
	if group, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && group > 0 {
		memory = min(memory, group)
	}
	return memory
}
