// Package manifestreader defines manifests and their contracts and parses them from TOML.
package manifestreader

//go:generate ../../bin/enumer -type Urgency -transform snake -text -output urgency_enumer.go
//go:generate ../../bin/enumer -type MergeRule -trimprefix Merge -transform snake -text -output mergerule_enumer.go
//go:generate ../../bin/enumer -type Scope -trimprefix Scope -transform snake -text -output scope_enumer.go
//go:generate ../../bin/enumer -type StalePolicy -trimprefix Stale -transform snake -text -output stalepolicy_enumer.go
//go:generate ../../bin/enumer -type CanaryPolicy -trimprefix Canary -transform snake -text -output canarypolicy_enumer.go
