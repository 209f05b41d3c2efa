/** Messages between daemons over TCP: Netty and protobuf (docs/PROTOCOL.md "Peers"). */
package org.bronzelug.daemon.peer;
