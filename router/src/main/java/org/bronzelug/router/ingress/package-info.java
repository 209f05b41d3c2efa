/** Connections of callers. */
package org.bronzelug.router.ingress;
