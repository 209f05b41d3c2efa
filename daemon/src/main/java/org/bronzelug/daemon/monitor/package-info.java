/** Health and metrics over HTTP (docs/OPERATIONS.md "Metrics"). */
package org.bronzelug.daemon.monitor;
