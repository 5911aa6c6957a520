// Package wire holds the generated messages that the processes of a deployment
// exchange. The code generator requires the message types to be exported;
// handlers convert them to internal types on receipt.
package wire

//go:generate sh generate.sh
