/** The health check and the metrics, over HTTP (docs/OPERATIONS.md "Metrics"). */
package org.bronzelug.daemon.monitor;
