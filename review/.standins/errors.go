package main

import "errors"

var (
	errNoLeader  = errors.New("no control process leads")
	errNoTraffic = errors.New("no request reached an engine in the span that is judged")
)
