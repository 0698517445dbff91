package linker

import (
	"banyandock.example/banyandock/internal/reserver"
)

// settings are what options set.
type settings struct {
	account *reserver.Account
}

// Option configures a Server, a Link or a Pool.
type Option func(*settings)

// WithAccount sets the account of the memory of messages that wait to be sent, are received or are being handled.
// Messages that find no room are refused: by ErrFull at the sender, or at the receiver, which then skips them. Small
// messages are not accounted for.
func WithAccount(account *reserver.Account) Option {
	return func(s *settings) { s.account = account }
}

// newSettings returns what some options set.
func newSettings(options []Option) settings {
	s := settings{}
	for _, o := range options {
		o(&s)
	}
	return s
}
