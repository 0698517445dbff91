package settingsreader

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tomlreader"
)

// KeeperMember is one keeper of the initial group.
type KeeperMember struct {
	Name    identifier.HostName
	Address netip.AddrPort
}

// Keeper holds the settings of a keeper.
type Keeper struct {
	Common
	// LinkAddress is where docks, other keepers and dockctl connect.
	LinkAddress netip.AddrPort
	// DataFolder is the path of the folder with the keeper's files.
	DataFolder string
	// Keepers are all keepers of the group, including this one.
	Keepers []KeeperMember
}

// ReadKeeper reads the settings file of a keeper. The error wraps ErrUnreadable or ErrInvalid.
func ReadKeeper(path string) (*Keeper, error) {
	text, err := load(path)
	if err != nil {
		return nil, err
	}
	return ParseKeeper(path, text)
}

// ParseKeeper reads a keeper's settings from text. The path only appears in errors, which wrap
// ErrInvalid.
func ParseKeeper(path string, text []byte) (*Keeper, error) {
	d := tomlreader.Read(text, maxBytes)
	t := d.Root
	s := &Keeper{
		Common:      readCommon(t),
		LinkAddress: tomlreader.Required(t, "link_address", tomlreader.Address),
		DataFolder:  tomlreader.Required(t, "data_folder", tomlreader.Text),
	}
	checkDistinct(t, []string{"link_address", "operator_address"}, []netip.AddrPort{s.LinkAddress, s.OperatorAddress})
	s.Keepers = readMembers(t, s)
	return s, finish(d, path)
}

// readMembers reads the [[keeper]] tables and checks that this keeper is among them.
func readMembers(t *tomlreader.Table, s *Keeper) []KeeperMember {
	var members []KeeperMember
	isListed := false
	for i, table := range t.Tables("keeper") {
		m := KeeperMember{
			Name:    tomlreader.Required(table, "name", tomlreader.Name[identifier.HostName]),
			Address: tomlreader.Required(table, "address", tomlreader.Address),
		}
		if i == maxKeepers {
			table.Report("", "is beyond the limit of %d keepers", maxKeepers)
		}
		if i < maxKeepers {
			checkMember(table, m, members)
		}
		if t.HasValid("host", "link_address") && m.Name == s.Host {
			isListed = true
			if m.Address != s.LinkAddress && table.HasValid("address") {
				table.Report("address", "differs from this keeper's link_address %s", s.LinkAddress)
			}
		}
		members = append(members, m)
	}
	if len(members) == 0 {
		t.Report("keeper", "at least one [[keeper]] table is needed")
	} else if t.HasValid("host", "link_address") && !isListed {
		t.Report("host", "%s is not among the [[keeper]] tables", s.Host)
	}
	return members
}

// checkMember reports a keeper that has the same name or address as an earlier one.
func checkMember(table *tomlreader.Table, m KeeperMember, earlier []KeeperMember) {
	for _, e := range earlier {
		if table.HasValid("name") && m.Name == e.Name {
			table.Report("name", "%s is listed twice", m.Name)
		}
		if table.HasValid("address") && m.Address == e.Address {
			table.Report("address", "%s is already the address of %s", m.Address, e.Name)
		}
	}
}
