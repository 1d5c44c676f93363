package relayer

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// unknownProcess is the name of a process that is not a daemon of the deployment.
const unknownProcess = "unknown"

// processOf returns the name of the process that owns the socket with the remote address of a loopback connection.
func processOf(remote net.Addr, processIDs map[string]int) string {
	address, ok := remote.(*net.TCPAddr)
	if !ok {
		return unknownProcess
	}
	inode := socketInode(address.Port)
	if inode == "" {
		return unknownProcess
	}
	link := "socket:[" + inode + "]"
	for name, id := range processIDs {
		if hasSocket(id, link) {
			return name
		}
	}
	return unknownProcess
}

// socketInode returns the inode of the IPv4 socket with the local port.
func socketInode(port int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		const localField, inodeField = 1, 9
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], suffix) && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}

// hasSocket reports whether the process has a file descriptor that links to the socket.
func hasSocket(id int, link string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", id))
	if err != nil {
		return false
	}
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil && target == link {
			return true
		}
	}
	return false
}
