/** Connections of callers, and the graceful stop that drains them. */
package org.bronzelug.router.ingress;
