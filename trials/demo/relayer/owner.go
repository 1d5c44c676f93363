package relayer

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// unknown names a process that is none of the deployment's daemons.
const unknown = "unknown"

// owner returns the name of the process that holds the near end of a loopback connection.
func owner(remote net.Addr, processes map[string]int) string {
	address, ok := remote.(*net.TCPAddr)
	if !ok {
		return unknown
	}
	inode := socketInode(address.Port)
	if inode == "" {
		return unknown
	}
	link := "socket:[" + inode + "]"
	for name, id := range processes {
		if holds(id, link) {
			return name
		}
	}
	return unknown
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

func holds(id int, link string) bool {
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
