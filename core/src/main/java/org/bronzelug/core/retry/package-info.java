/** How many requests may be sent again. */
package org.bronzelug.core.retry;
