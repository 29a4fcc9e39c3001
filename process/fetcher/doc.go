// Package fetcher transfers large values between VMs, apart from the messages that keep
// them in touch. A VM that lacks a value asks peers that hold it for one chunk after the
// other and continues at another peer where one fails. Values are compressed, as changes of
// a value that the receiver holds where both have one.
//
// It does not know what the values are.
package fetcher
