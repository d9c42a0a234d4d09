package document

import (
	"strconv"
	"strings"
)

// isAddress reports whether s is an IP address and a port, such as 10.0.0.1:80 or [fd00::1]:80.
//
// It does not use net/netip, because the decision core may not import packages of the net tree.
func isAddress(s string) bool {
	i := strings.LastIndexByte(s, ':')
	if i < 0 || !isNumber(s[i+1:], 1, 65535) {
		return false
	}
	host := s[:i]
	if v6, ok := strings.CutPrefix(host, "["); ok {
		v6, ok = strings.CutSuffix(v6, "]")
		return ok && isV6(v6)
	}
	return isV4(host)
}

func isV4(s string) bool {
	parts := strings.Split(s, ".")
	for _, p := range parts {
		if !isNumber(p, 0, 255) {
			return false
		}
	}
	return len(parts) == 4
}

func isV6(s string) bool {
	const groups = 8
	head, tail, short := strings.Cut(s, "::")
	if !short {
		return countGroups(s) == groups
	}
	a, b := countGroups(head), countGroups(tail)
	return a >= 0 && b >= 0 && a+b < groups
}

// countGroups returns the number of 16-bit groups of an IPv6 address, or -1 if one is invalid.
func countGroups(s string) int {
	if s == "" {
		return 0
	}
	parts := strings.Split(s, ":")
	for _, p := range parts {
		if len(p) == 0 || len(p) > 4 || strings.Trim(strings.ToLower(p), "0123456789abcdef") != "" {
			return -1
		}
	}
	return len(parts)
}

// isNumber reports whether s is a decimal number from low to high, without a sign or a leading zero.
func isNumber(s string, low, high int) bool {
	if s == "" || (len(s) > 1 && s[0] == '0') || strings.Trim(s, "0123456789") != "" {
		return false
	}
	n, err := strconv.Atoi(s)
	return err == nil && n >= low && n <= high
}
