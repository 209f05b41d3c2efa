/** Teams' keys, of which only a digest is kept (DESIGN.md "Keys"). */
package org.bronzelug.core.key;
