/** Admission of requests by their teams' rates, on this VM or on the VM that holds the rate. */
package org.bronzelug.daemon.limit;
