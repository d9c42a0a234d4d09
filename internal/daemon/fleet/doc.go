// Package fleet shares the reading of endpoints and the slots of pipelines between hosts.
//
// Each pipeline has one owner host, which polls its engines and divides its slots. Each service has one
// owner host, which describes the engines and lists the pipelines in a catalog. All other hosts ask the
// owners. The package must not import ingress packages or other packages of the daemon but documents and
// journal.
package fleet
