// Package recorder records Prometheus metrics and the decisions on recent
// requests, for operators.
//
// Everything is kept in memory and no decision depends on it. Label values are
// limited to a few sets such as classes and result codes, to bound cardinality;
// no label identifies a client account.
package recorder
