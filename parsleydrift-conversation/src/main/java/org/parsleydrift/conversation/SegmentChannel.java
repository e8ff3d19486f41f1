package org.parsleydrift.conversation;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The file of a log segment that is being written. */
interface SegmentChannel extends Closeable {
    /** Writes a part of a frame at the end of the file. */
    void write(ByteBuffer frame) throws IOException;

    /** Syncs the file; with its metadata if requested. */
    void force(boolean metadata) throws IOException;

    /** Cuts off what follows after a size. */
    void truncate(long size) throws IOException;

    /** Opens files. */
    interface Opener {
        /**
         * Creates a file and opens it.
         *
         * @param file the file
         * @return its channel
         * @throws IOException if the file cannot be created
         */
        SegmentChannel open(Path file) throws IOException;
    }

    /**
     * Creates a file of the default file system and opens it.
     *
     * @param file the file
     * @return its channel
     * @throws IOException if the file cannot be created
     */
    static SegmentChannel open(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        return new SegmentChannel() {
            @Override
            public void write(ByteBuffer frame) throws IOException {
                channel.write(frame);
            }

            @Override
            public void force(boolean metadata) throws IOException {
                channel.force(metadata);
            }

            @Override
            public void truncate(long size) throws IOException {
                channel.truncate(size);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }
}
