#!/usr/bin/env bash
# Regenerates the certificates for the tests. Their keys are not secret.
set -euo pipefail
cd "$(dirname "$0")"
days=36500

authority() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -days "$days" -subj "/CN=$1" -keyout "$1.key" -out "$1.pem"
}

# Creates $1.pem, a certificate for node id $2 signed by authority $3.
node() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -subj "/CN=$2" -keyout "$1.key" -out "$1.csr"
  openssl x509 -req -in "$1.csr" -CA "$3.pem" -CAkey "$3.key" \
    -CAcreateserial -days "$days" -out "$1.pem" \
    -extfile <(printf 'subjectAltName=DNS:%s,IP:127.0.0.1' "$2")
  rm "$1.csr"
}

authority ca
authority stranger-ca
node a a ca
node b b ca
node b-renewed b ca
node stranger b stranger-ca
rm -f ./*.srl ca.key stranger-ca.key
