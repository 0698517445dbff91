package forwarder

import (
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/recorder"
)

// SetEvacuated sends nothing more to the servers of evacuated failure domains and closes the connections to
// them, so that requests that wait for one of them are sent elsewhere. Requests that a server has go on. The
// version identifies the list of domains.
func (f *Forwarder) SetEvacuated(domains []identifier.DomainName, version uint64) {
	f.log.Warn().Strs(recorder.FieldDomains, recorder.Texts(domains)).Uint64(recorder.FieldIndex, version).Msg(recorder.EventEvacuations)
	f.selector.SetEvacuated(domains)
	f.retainConnections()
	f.onTargetsChanged()
}
