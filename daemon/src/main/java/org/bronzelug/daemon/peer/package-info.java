/** Messages between daemons: protobuf over TCP, with Netty (docs/PROTOCOL.md "Peers"). */
package org.bronzelug.daemon.peer;
