/** The platform's objects: read, watched, written, and mirrored for peers. */
package org.bronzelug.router.store;
