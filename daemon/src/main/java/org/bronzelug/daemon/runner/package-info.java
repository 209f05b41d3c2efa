/** The endpoints: their state, and the calls made to them (docs/PROTOCOL.md "Runners"). */
package org.bronzelug.daemon.runner;
