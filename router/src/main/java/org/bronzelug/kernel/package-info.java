/** Services and the management of their lifecycle. */
package org.bronzelug.kernel;
