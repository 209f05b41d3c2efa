/** The endpoints: their state, and the HTTP calls to them (docs/PROTOCOL.md "Runners"). */
package org.bronzelug.daemon.runner;
