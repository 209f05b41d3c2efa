/** Event streams from runners to callers. */
package org.bronzelug.router.stream;
