/** How much work each endpoint handles well, learned from response times and reported load. */
package org.bronzelug.core.capacity;
