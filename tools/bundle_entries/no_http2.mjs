/** Stands for undici's HTTP/2 client: backend servers speak HTTP/1.1. */
export default function connectH2() {
  throw new Error("HTTP/2 is not part of the daemon's bundle");
}
