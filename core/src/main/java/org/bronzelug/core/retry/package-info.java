/** Bounds on the number of retried requests. */
package org.bronzelug.core.retry;
