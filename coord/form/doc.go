// Package form implements the configuration questionnaire: decoding and validating its answers, comparing two sets of
// answers, and generating a customer's configuration from them. It also has the JSON bodies of the configuration API.
//
// An answer is always an answer to the questionnaire; the reply to a request is a response.
package form
