/** Health and metrics over HTTP (docs/OPERATING.md "Metrics"). */
package org.bronzelug.daemon.monitor;
