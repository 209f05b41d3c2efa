/** Decisions on requests that wait for an endpoint, and on the order in which they are served. */
package org.bronzelug.core.admission;
