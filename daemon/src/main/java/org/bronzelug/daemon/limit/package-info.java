/** Admission by the teams' rates, here or at the VM that holds them. */
package org.bronzelug.daemon.limit;
