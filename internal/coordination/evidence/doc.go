// Package evidence turns the counts that sidecars report into windows of new and control sidecars and passes these to package
// judge. It reads no clock and does no I/O.
//
// Three rates of each class are compared: refused, failed and slow requests. A request is slow if it took longer than all but the
// slowest tenth of the control's first requests; the requests that this bound is computed from are not compared with it. Over all
// classes together, new and control are compared in pairs: processor time, attempts and new connections per request, health
// checks, and the growth of memory over short and long spans. Pairs are compared only while the sidecars of both sides have about
// the same load.
//
// The new sidecars are those of the stage that run the new release. The control consists of the old sidecars that the plan
// restarts as a control or, if it restarts none, of all old sidecars that are left. Zones differ: new is compared with control
// within each zone. For the comparison over all zones, each zone's control is weighted in proportion to the zone's new requests.
// A single zone may show that the new release is worse. That it is no worse has to be shown over all zones together, because most
// zones have too little traffic.
//
// The baseline is counted over all sidecars before anything is changed; the untouched old sidecars are compared with it. A
// difference shows that something has changed, but not what: it pauses a change and does not stop it.
//
// A process is counted from its first reading on. Assumption: the machines of new and control have the same kind of processor and
// memory.
package evidence
