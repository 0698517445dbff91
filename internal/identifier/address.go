package identifier

import "net/netip"

// ParseServerAddress parses the address that a backend server says it listens at. It returns false if that is
// no IP address with a port, or one that no server can be reached at.
func ParseServerAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, false
	}
	ip := address.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, address.Port()), true
}
