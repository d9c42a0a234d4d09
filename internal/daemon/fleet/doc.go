// Package fleet divides among hosts the polling of endpoints and the slots of pipelines.
//
// Each pipeline has one owner host, which polls its engines and divides its slots among the hosts. Each
// service has one owner host, which reads the descriptions of the engines and lists the pipelines in a
// catalog. All other hosts send demand reports to the owners and get grants, loads and catalogs in reply.
// The package must not import ingress packages. Of the daemon packages it may import only documents and
// journal.
package fleet
