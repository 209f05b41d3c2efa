/** Event streams as they pass through. */
package org.bronzelug.router.stream;
