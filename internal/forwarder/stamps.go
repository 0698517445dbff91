package forwarder

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/sender"
)

// stampSet holds the signatures that are part of an answer. A signature that comes twice is of one part at most.
type stampSet struct {
	isMember map[string]bool
}

// add adds a signature. It returns false if it is a member already.
func (s *stampSet) add(stamp string) bool {
	if s.isMember[stamp] {
		return false
	}
	if s.isMember == nil {
		s.isMember = map[string]bool{}
	}
	s.isMember[stamp] = true
	return true
}

// areUsable reports whether the signatures of the parts that another dock has merged can all be part of the answer.
// That dock may be of an earlier release, which does not check them. It does not change the set.
func (s *stampSet) areUsable(parts []encoder.GatherPart) bool {
	others := stampSet{}
	for _, p := range parts {
		if p.Stamp == "" {
			continue
		}
		if !sender.IsStamp(p.Stamp) || s.isMember[p.Stamp] || !others.add(p.Stamp) {
			return false
		}
	}
	return true
}

// areStamps reports whether some texts are the signatures of an answer: one at least, each valid and none twice.
func areStamps(texts []string) bool {
	set := stampSet{}
	for _, text := range texts {
		if !sender.IsStamp(text) || !set.add(text) {
			return false
		}
	}
	return len(texts) > 0
}
